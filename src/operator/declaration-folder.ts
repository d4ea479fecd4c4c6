import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import type {DeclarationFiles, SourceFile} from '../declaration/index.js';
import {FindingsError, type Finding} from '../ini/index.js';

const declarationExtension = '.ini';

function readFile(path: string, findings: Finding[]): SourceFile {
	try {
		return {name: path, text: readFileSync(path, 'utf8')};
	} catch (err) {
		const problem = `cannot be read: ${err instanceof Error ? err.message : String(err)}`;
		findings.push({file: path, section: '', key: '', line: 0, problem, hint: ''});
		return {name: path, text: ''};
	}
}

function readFolder(folder: string, findings: Finding[]): SourceFile[] {
	let names: string[] = [];
	try {
		names = readdirSync(folder).filter((name) => name.endsWith(declarationExtension));
	} catch {
		const problem = 'is not a folder';
		findings.push({
			file: folder,
			section: '',
			key: '',
			line: 0,
			problem,
			hint: 'create the folder',
		});
	}

	return names.toSorted().map((name) => readFile(join(folder, name), findings));
}

/**
 * Reads the declaration files of a deployment.
 * @param folder - path of the folder with `deployment.ini`, `templates/` and `customers/`.
 * @returns the contents of the files; those of a subfolder are sorted by name.
 * @throws {@link FindingsError} with a finding for each file or folder that cannot be read.
 */
export function readDeclarationFolder(folder: string): DeclarationFiles {
	const findings: Finding[] = [];
	const files = {
		deployment: readFile(join(folder, 'deployment.ini'), findings),
		templates: readFolder(join(folder, 'templates'), findings),
		customers: readFolder(join(folder, 'customers'), findings),
	};
	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return files;
}
