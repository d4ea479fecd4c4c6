import {minute, second} from '../clock/index.js';
import {
	parseIni,
	reportUnknownSections,
	SectionReader,
	type Finding,
	type IniDocument,
	type IniEntry,
	type IniSection,
} from '../ini/index.js';
import type {CallPolicy, ServicePolicy} from './declaration.js';

/** Name and content of a source file. */
export interface SourceFile {
	readonly name: string;
	readonly text: string;
}

/** A template for one kind of service. */
export interface Template {
	readonly kind: string;
	readonly document: IniDocument;
	/** Default values by parameter; undefined where each customer must set a value. */
	readonly parameters: ReadonlyMap<string, string | undefined>;
}

const placeholderPattern = /\{([\w\-]+)\}/gv;
const sections = new Set(['template', 'parameters', 'service', 'call']);
const maxQueueLength = 10_000;

/**
 * @param source - a template file.
 * @param findings - receives the errors found.
 * @returns the template; its values are validated when it is rendered.
 */
export function parseTemplate(source: SourceFile, findings: Finding[]): Template {
	const document = parseIni(source.name, source.text, findings);
	reportUnknownSections(document, (name) => sections.has(name), findings);
	const reader = new SectionReader(document, 'template', findings);
	const kind = reader.text('kind');
	reader.reportUnknownKeys();
	const parameters = new Map<string, string | undefined>();
	for (const [name, entry] of document.sections.get('parameters')?.entries ?? []) {
		parameters.set(name, entry.value === '' ? undefined : entry.value);
	}

	return {kind, document, parameters};
}

/** Policies rendered from a template for one customer. */
export interface RenderedTemplate {
	readonly service: ServicePolicy;
	readonly call: CallPolicy;
}

/** Customer and service for which a template is rendered. */
export interface RenderTarget {
	readonly service: string;
	readonly customer: string;
	/** The customer's parameters. */
	readonly parameters: ReadonlyMap<string, string>;
}

/**
 * Substitutes the parameters of one customer and validates the result.
 * @param template - the template.
 * @param target - the customer and service.
 * @param findings - receives the errors found.
 * @returns the policies.
 */
export function renderTemplate(
	template: Template,
	target: RenderTarget,
	findings: Finding[],
): RenderedTemplate {
	const document = substitute(template, target, findings);
	const service = new SectionReader(document, 'service', findings);
	const call = new SectionReader(document, 'call', findings);
	const rendered = {
		service: readServicePolicy(service, target.service, template.kind),
		call: readCallPolicy(call, target),
	};
	service.reportUnknownKeys();
	call.reportUnknownKeys();
	return rendered;
}

function substitute(template: Template, target: RenderTarget, findings: Finding[]): IniDocument {
	const result = new Map<string, IniSection>();
	for (const [name, section] of template.document.sections) {
		const entries = new Map<string, IniEntry>();
		for (const [key, entry] of section.entries) {
			const report = (parameter: string, problem: string) => {
				findings.push({
					file: template.document.file,
					section: name,
					key,
					line: entry.line,
					problem: `${problem} "${parameter}" (service ${target.service}, customer ${target.customer})`,
					hint: 'list it in [parameters] with a default, or leave it empty there and set it for each customer',
				});
			};

			const value = entry.value.replaceAll(placeholderPattern, (_match, parameter: string) => {
				if (!template.parameters.has(parameter)) {
					report(parameter, 'uses the unknown parameter');
				}

				const filled = target.parameters.get(parameter) ?? template.parameters.get(parameter);
				if (filled === undefined) {
					report(parameter, 'has no value for the parameter');
				}

				return filled ?? '';
			});
			entries.set(key, {value, line: entry.line});
		}

		result.set(name, {...section, entries});
	}

	return {file: template.document.file, sections: result};
}

function readServicePolicy(reader: SectionReader, service: string, kind: string): ServicePolicy {
	const otherRegion = reader.choice('other-region', ['allowed', 'forbidden'], 'allowed');
	return {
		service,
		kind,
		queue: reader.integer('queue', {min: 0, max: maxQueueLength, fallback: 40}),
		warmUp: reader.duration('warm-up', {min: 0, max: 10 * minute, fallback: 5 * second}),
		probeBudget: reader.number('probe-budget', {min: 0, max: 1000, fallback: 6}),
		isOtherRegionAllowed: otherRegion === 'allowed',
	};
}

function readCallPolicy(reader: SectionReader, target: RenderTarget): CallPolicy {
	return {
		service: target.service,
		customer: target.customer,
		deadline: reader.duration('deadline', {min: 1, max: 10 * minute, fallback: second}),
		maxDeadline: reader.duration('max-deadline', {
			min: 1,
			max: 10 * minute,
			fallback: 30 * second,
		}),
		idempotentMethods: reader.list('idempotent-methods', ['GET', 'HEAD', 'OPTIONS']),
		idempotentPaths: reader.list('idempotent-paths'),
		maxAttempts: reader.integer('max-attempts', {min: 1, max: 10, fallback: 3}),
		retryShare: reader.number('retry-share', {min: 0, max: 1, fallback: 0.1}),
		hedgeShare: reader.number('hedge-share', {min: 0, max: 1, fallback: 0.02}),
		share: reader.number('share', {min: 0.01, max: 1000, fallback: 1}),
		keyRetention: reader.duration('key-retention', {
			min: minute,
			max: 60 * minute,
			fallback: 10 * minute,
		}),
	};
}
