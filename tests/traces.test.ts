import {readFileSync} from 'node:fs';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {namedTraces} from '../scaffold/replay/named-traces.js';
import type {Finding} from '../src/ini/index.js';
import {formatTrace, parseTrace} from '../src/replay/index.js';

describe('traces', () => {
	it.each(namedTraces.map((trace) => trace.name))(
		'%s matches the trace that its seed generates',
		(name) => {
			const trace = namedTraces.find((item) => item.name === name)!;
			const text = readFileSync(`traces/${name}.jsonl`, 'utf8');
			expect(text).toBe(formatTrace(trace.create()));
			const findings: Finding[] = [];
			parseTrace(name, text, findings);
			expect(findings).toEqual([]);
		},
	);

	it('reports every invalid line with its line number', () => {
		const findings: Finding[] = [];
		parseTrace(
			'bad.jsonl',
			'{}\nnot json\n{"kind":"fault","fault":"earthquake","at":1}\n',
			findings,
		);
		expect(findings.map((finding) => finding.line)).toEqual([1, 2, 3]);
	});

	it('parses arbitrary text without throwing', () => {
		fc.assert(
			fc.property(fc.array(fc.oneof(fc.string(), fc.json()), {maxLength: 5}), (lines) => {
				const findings: Finding[] = [];
				const events = parseTrace('any', lines.join('\n'), findings);
				expect(events.length + findings.length).toBeGreaterThanOrEqual(0);
			}),
			{seed: 20_261_204, numRuns: 1000},
		);
	});
});
