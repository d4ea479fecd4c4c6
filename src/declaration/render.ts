import {
	FindingsError,
	parseIni,
	reportUnknownSections,
	SectionReader,
	type Finding,
	type IniDocument,
	type IniSection,
} from '../ini/index.js';
import type {CallPolicy, Declaration, LinkBudget, ServicePolicy} from './declaration.js';
import {parseTemplate, renderTemplate, type SourceFile, type Template} from './template.js';

/** Source files of a declaration, which operators keep in version control. */
export interface DeclarationFiles {
	readonly deployment: SourceFile;
	readonly templates: readonly SourceFile[];
	readonly customers: readonly SourceFile[];
}

const servicePattern = /^service (\S+)$/v;
const linkPattern = /^link (\S+) (\S+)$/v;
const namePattern = /^[a-z0-9](?:[a-z0-9\-]{0,61}[a-z0-9])?$/v;
const maxBytesPerSecond = 10_000_000_000;

/** Renders source files into a declaration and collects all findings. */
class Renderer {
	readonly findings: Finding[] = [];
	private readonly templates = new Map<string, Template>();
	private readonly services = new Map<string, ServicePolicy>();
	private readonly calls = new Map<string, CallPolicy>();

	addTemplate(source: SourceFile): void {
		const template = parseTemplate(source, this.findings);
		if (this.templates.has(template.kind)) {
			this.report(
				template.document,
				'template',
				`kind "${template.kind}" is declared by two templates`,
			);
		}

		this.templates.set(template.kind, template);
	}

	addCustomer(source: SourceFile): void {
		const document = parseIni(source.name, source.text, this.findings);
		const isKnown = (name: string) => name === 'customer' || servicePattern.test(name);
		reportUnknownSections(document, isKnown, this.findings);
		const reader = new SectionReader(document, 'customer', this.findings);
		const customer = reader.text('name');
		if (!namePattern.test(customer)) {
			reader.report('name', `"${customer}" is not a name`, 'lower-case letters, digits and "-"');
		}

		reader.reportUnknownKeys();
		for (const section of document.sections.values()) {
			const match = servicePattern.exec(section.name);
			if (match) {
				this.addCallPolicy(document, section, customer, match[1]!);
			}
		}
	}

	finish(deployment: string, links: readonly LinkBudget[]): Declaration {
		const byName = (a: string, b: string) => (a < b ? -1 : 1);
		const services = [...this.services.values()];
		services.sort((a, b) => byName(a.service, b.service));
		const calls = [...this.calls.values()];
		calls.sort((a, b) => byName(`${a.service} ${a.customer}`, `${b.service} ${b.customer}`));
		return {deployment, services, calls, links};
	}

	private addCallPolicy(
		document: IniDocument,
		section: IniSection,
		customer: string,
		service: string,
	): void {
		const kind = section.entries.get('template')?.value ?? '';
		const template = this.templates.get(kind);
		if (!template) {
			this.report(document, section.name, `template "${kind}" does not exist`, 'template');
			return;
		}

		const parameters = new Map<string, string>();
		for (const [key, entry] of section.entries) {
			if (key !== 'template') {
				parameters.set(key, entry.value);
				if (!template.parameters.has(key)) {
					this.report(document, section.name, `the template has no parameter "${key}"`, key);
				}
			}
		}

		const target = {service, customer, parameters};
		const rendered = renderTemplate(template, target, this.findings);
		this.addService(document, section.name, rendered.service);
		const id = `${service} ${customer}`;
		if (this.calls.has(id)) {
			this.report(document, section.name, `customer "${customer}" already has this service`);
		}

		this.calls.set(id, rendered.call);
	}

	private addService(document: IniDocument, section: string, policy: ServicePolicy): void {
		const known = this.services.get(policy.service);
		if (known && JSON.stringify(known) !== JSON.stringify(policy)) {
			const problem = `customers render different service-wide settings for service "${policy.service}"`;
			this.report(document, section, problem, 'template');
		}

		this.services.set(policy.service, policy);
	}

	private report(document: IniDocument, section: string, problem: string, key = ''): void {
		const found = document.sections.get(section);
		const line = found?.entries.get(key)?.line ?? found?.line ?? 0;
		this.findings.push({file: document.file, section, key, line, problem, hint: ''});
	}
}

function readLinks(document: IniDocument, findings: Finding[]): LinkBudget[] {
	const links: LinkBudget[] = [];
	for (const section of document.sections.values()) {
		const match = linkPattern.exec(section.name);
		if (!match) {
			continue;
		}

		const reader = new SectionReader(document, section.name, findings);
		const bytes = (key: string) => reader.integer(key, {min: 0, max: maxBytesPerSecond});
		links.push({
			regions: [match[1]!, match[2]!],
			controlBytesPerSecond: bytes('control-bytes-per-second'),
			callBytesPerSecond: bytes('call-bytes-per-second'),
		});
		reader.reportUnknownKeys();
	}

	return links;
}

/**
 * Renders and validates all files together.
 * @param files - source files of the declaration.
 * @returns the declaration.
 * @throws FindingsError with all findings.
 */
export function renderDeclaration(files: DeclarationFiles): Declaration {
	const renderer = new Renderer();
	const {findings} = renderer;
	const document = parseIni(files.deployment.name, files.deployment.text, findings);
	const isKnown = (name: string) => name === 'deployment' || linkPattern.test(name);
	reportUnknownSections(document, isKnown, findings);
	const reader = new SectionReader(document, 'deployment', findings);
	const deployment = reader.text('name');
	reader.reportUnknownKeys();
	const links = readLinks(document, findings);
	for (const source of files.templates) {
		renderer.addTemplate(source);
	}

	for (const source of files.customers) {
		renderer.addCustomer(source);
	}

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return renderer.finish(deployment, links);
}
