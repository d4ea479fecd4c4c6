import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {AnswerSoak, answerRounds} from '../scaffold/mesh/answer-soak.js';
import {Mesh} from '../scaffold/mesh/mesh.js';

const seed = 20_261_206;
const roundTime = 2500;
/** Whole answers that a round has to exceed. */
const minRight = 100;

// Guards against answers that look whole at their callers and are not, whatever has ended or spoiled them.
describe(`a success that looks whole is the whole body of the backend server (seed ${seed})`, () => {
	const mesh = new Mesh(69);
	const soak = new AnswerSoak(mesh, seed);

	beforeAll(async () => {
		await soak.open();
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it.each(answerRounds)('while $name', async (round) => {
		soak.violations.length = 0;
		let right = 0;
		// On an overloaded machine, one round is too short for as many answers.
		while (right <= minRight) {
			const counts = await soak.play(round, roundTime);
			expect(soak.violations).toEqual([]);
			right += counts.right;
		}
	});
});
