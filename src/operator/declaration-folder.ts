import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import type {DeclarationFiles, SourceFile} from '../declaration/index.js';
import {FindingsError, type Finding} from '../ini/index.js';

const extension = '.ini';

function read(path: string, findings: Finding[]): SourceFile {
	try {
		return {name: path, text: readFileSync(path, 'utf8')};
	} catch (err) {
		const problem = `cannot be read: ${err instanceof Error ? err.message : String(err)}`;
		findings.push({file: path, section: '', key: '', line: 0, problem, hint: ''});
		return {name: path, text: ''};
	}
}

function readAll(folder: string, findings: Finding[]): SourceFile[] {
	let names: string[] = [];
	try {
		names = readdirSync(folder).filter((name) => name.endsWith(extension));
	} catch {
		const problem = 'is not a folder';
		findings.push({file: folder, section: '', key: '', line: 0, problem, hint: 'create it'});
	}

	return names.toSorted().map((name) => read(join(folder, name), findings));
}

/**
 * @param folder - folder with `deployment.ini`, `templates/` and `customers/`.
 * @returns the files.
 * @throws {@link FindingsError} with everything that cannot be read.
 */
export function readDeclarationFolder(folder: string): DeclarationFiles {
	const findings: Finding[] = [];
	const files = {
		deployment: read(join(folder, 'deployment.ini'), findings),
		templates: readAll(join(folder, 'templates'), findings),
		customers: readAll(join(folder, 'customers'), findings),
	};
	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return files;
}
