import {readFileSync} from 'node:fs';

/** @returns the options of Node.js and the program that `deploy/system.toml` runs as a node. */
export function readDeployedCommand(): string[] {
	const [, words] = /^run = "node (.+) --settings/mv.exec(
		readFileSync('deploy/system.toml', 'utf8'),
	)!;
	return words!.split(' ');
}
