import {describe, expect, it} from 'vitest';
import {FindingsError} from '../../../ini/index.js';
import {
	DeclarationIndex,
	isIdempotent,
	renderDeclaration,
	type DeclarationFiles,
} from '../../index.js';

const deployment = {
	name: 'deployment.ini',
	text: '[deployment]\nname = rannakivi\n[link harju parnu]\ncontrol-bytes-per-second = 60000\ncall-bytes-per-second = 900000\n',
};
const template = {
	name: 'templates/lookup.ini',
	text: '[template]\nkind = lookup\n[parameters]\ndeadline = 800 ms\nshare =\n[service]\nqueue = 20\n[call]\ndeadline = {deadline}\nshare = {share}\n',
};

function files(customer: string): DeclarationFiles {
	const customers = [{name: 'customers/kuressaare.ini', text: customer}];
	return {deployment, templates: [template], customers};
}

describe('renderDeclaration', () => {
	it('substitutes the parameters of a customer into a template', () => {
		const declaration = renderDeclaration(
			files(
				'[customer]\nname = kuressaare\n[service depot-catalogue]\ntemplate = lookup\nshare = 3\n',
			),
		);
		const index = new DeclarationIndex(1, declaration);
		const policy = index.call('depot-catalogue', 'kuressaare');
		expect(policy?.deadline).toBe(800);
		expect(policy?.share).toBe(3);
		expect(index.service('depot-catalogue')?.queue).toBe(20);
		expect(index.link('parnu', 'harju')?.controlBytesPerSecond).toBe(60_000);
		expect(isIdempotent(policy!, 'POST', '/x')).toBe(false);
	});

	it('reports all findings together, each with file and line', () => {
		const render = () =>
			renderDeclaration(
				files(
					'[customer]\nname = Kuressaare!\n[service depot-catalogue]\ntemplate = lookup\ncolour = red\n[oops]\n',
				),
			);
		expect(render).toThrow(FindingsError);
		expect(render).toThrow(/customers\/kuressaare.ini:2.*is not a name/v);
		expect(render).toThrow(/customers\/kuressaare.ini:5.*no parameter "colour"/v);
		expect(render).toThrow(/customers\/kuressaare.ini:6.*not a known section/v);
		expect(render).toThrow(/templates\/lookup.ini:10.*no value for the parameter "share"/v);
	});
});
