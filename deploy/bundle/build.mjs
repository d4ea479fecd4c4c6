// Makes the program that is deployed: one small file, and the code that V8 compiles from it.
import {spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync, rmSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = fileURLToPath(new URL('../..', import.meta.url));
const target = `${root}target/node/bin`;
/** Modules of Node.js that libraries load for what no node does: TLS, HTTP/2, compression, clusters. */
const unusedModules = [
	'cluster',
	'https',
	'node:http2',
	'node:https',
	'node:tls',
	'node:zlib',
	'tls',
	'v8',
	'zlib',
];
const program = 'turmeric-platform-node';

/**
 * @returns {string[]} options of Node.js under which the deployed program runs.
 */
function readNodeOptions() {
	const [, run] = /^run = "node (.+)"$/mv.exec(readFileSync(`${root}deploy/system.toml`, 'utf8'));
	const words = run.split(' ');
	return words.slice(
		0,
		words.findIndex((word) => !word.startsWith('-')),
	);
}

rmSync(target, {recursive: true, force: true});
await build({
	entryPoints: [`${root}platform/${program}.ts`],
	outfile: `${target}/bundle.cjs`,
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	minify: true,
	sourcemap: 'linked',
	logLevel: 'warning',
	alias: {
		undici: `${root}deploy/bundle/http-client.cjs`,
		...Object.fromEntries(unusedModules.map((name) => [name, `${root}deploy/bundle/unused.cjs`])),
	},
	define: {
		'process.env.NODE_ENV': '"production"',
		// Looking for a native part that is not in the bundle takes several ms.
		'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"',
		'import.meta.url': 'bundleUrl',
	},
	banner: {
		js: [
			'(function (require, __filename, __dirname) {',
			'const module = {exports: {}};',
			"const bundleUrl = require('node:url').pathToFileURL(__filename).href;",
		].join(''),
	},
	footer: {js: '})'},
});
copyFileSync(`${root}deploy/bundle/launcher.cjs`, `${target}/${program}.cjs`);
const {status} = spawnSync(
	process.execPath,
	[
		...readNodeOptions(),
		`${target}/${program}.cjs`,
		'--write-code-cache',
		'--settings',
		`${root}deploy/bundle/example.ini`,
		'--check',
	],
	{stdio: ['ignore', 'ignore', 'inherit']},
);
process.exitCode = status ?? 1;
