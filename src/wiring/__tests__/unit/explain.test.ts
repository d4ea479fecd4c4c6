import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {DeclarationIndex, type CustomerPolicy} from '../../../declaration/index.js';
import {createLocalMember, Directory, MemberPhase} from '../../../membership/index.js';
import {formatExplanation, type ExplanationReply} from '../../../operator/index.js';
import {createRandom} from '../../../random/index.js';
import {ObjectivePlacement} from '../../../routing/index.js';
import {explainRequest, parseExplainedRequest} from '../../explain.js';

const customers: readonly CustomerPolicy[] = [
	{customer: 'c1', keyDigests: ['d1'], rate: 20, burst: 40, allowedRegions: ['r1', 'r2']},
	{customer: 'c2', keyDigests: ['d2'], rate: 0, burst: 0, allowedRegions: ['r3']},
];

function createFixture(hasMember = true) {
	const route = {
		name: 'search',
		host: 'a.example',
		prefix: '/x/',
		isIdempotent: true,
		timeout: 1500,
		objective: 600,
		maxAttempts: 2,
		priority: 1,
		targets: [{service: 's', weight: 1}],
		allowedRegions: ['r1'],
	};
	const declaration = {deployment: '', services: [], calls: [], links: [], routes: [route]};
	const index = new DeclarationIndex(7, {...declaration, customers});
	const directory = new Directory();
	const self = createLocalMember('10.0.0.1:7001', 1, {region: 'r1', zone: 'a'});
	if (hasMember) {
		directory.merge({...self, id: 'e1', phase: MemberPhase.Serving, service: 's', slots: 6});
	}

	const placement = new ObjectivePlacement({
		random: createRandom(1),
		clock: new ManualClock(1000),
		directory,
		self: () => self,
		costs: {otherZone: 0.02, otherRegion: 0.085},
		lowestPriority: () => 1,
	});
	const explain = (change: object = {}, known: DeclarationIndex | undefined = index) => {
		const question = {host: 'a.example:80', path: '/x/1', keyDigest: 'd1', ...change};
		const request = parseExplainedRequest(JSON.stringify(question));
		return explainRequest(request, known, placement);
	};

	return {explain, placement};
}

describe('the explanation of a request', () => {
	it('tells the route, the customer, its quota, the regions and the executor', () => {
		const explanation = createFixture().explain();
		expect(explanation).toMatchObject({
			route: 'search',
			revision: 7,
			customer: 'c1',
			quota: {rate: 20, burst: 40},
			allowedRegions: ['r1'],
			refusal: undefined,
		});
		expect(explanation.targets[0]).toMatchObject({service: 's', chosen: 'e1'});
	});

	it('names the rule that refuses the request', () => {
		const {explain, placement} = createFixture();
		expect(explain({path: '/y/1'}).refusal).toBe(RefusalReason.NoRoute);
		expect(explain({keyDigest: 'other'}).refusal).toBe(RefusalReason.UnknownKey);
		expect(explain({keyDigest: undefined}).refusal).toBe(RefusalReason.UnknownKey);
		expect(explain({keyDigest: 'd2'}).refusal).toBe(RefusalReason.RegionNotAllowed);
		const request = parseExplainedRequest('{"host": "a", "path": "/x/"}');
		const beforeReady = explainRequest(request, undefined, placement);
		expect(beforeReady.refusal).toBe(RefusalReason.NotReady);
		expect(createFixture(false).explain().refusal).toBe(RefusalReason.NoBackend);
	});

	it('rejects a question with fields of other types', () => {
		for (const text of ['', '[]', '{"host": 1, "path": "/"}', '{"host": "a", "path": "x"}']) {
			expect(() => parseExplainedRequest(text), text).toThrow('is not a request');
		}
	});

	it('is shown as text with all parts of the loss', () => {
		const explanation = createFixture().explain();
		const reply = structuredClone(explanation) as unknown as ExplanationReply;
		const text = formatExplanation(reply).join('\n');
		expect(text).toContain('route: search (revision 7)');
		expect(text).toContain('quota: 20 per second, burst 40');
		expect(text).toMatch(/\* e1 {2}r1\/a {2}\d+ ms {2}loss 0\.\d+ \(time 0/v);
		const refused = createFixture().explain({path: '/y/1'});
		const refusedReply = structuredClone(refused) as unknown as ExplanationReply;
		expect(formatExplanation(refusedReply)).toContain('refused: no-route');
	});
});
