import {type FlatXoConfig} from 'xo';

const hostFolders = [
	'ingress',
	'executor',
	'link',
	'store',
	'telemetry',
	'settings',
	'wiring',
	'bin',
];

const config: FlatXoConfig = [
	{
		ignores: ['dist', 'reports', 'target', 'journal'],
	},
	{
		prettier: 'compat',
		rules: {
			// House style: short names by custom.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// House style: `err` is the name of a caught error.
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			'promise/prefer-await-to-then': 'off',
			// The formatter decides where braces break.
			'@stylistic/curly-newline': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// House style: behaviour that varies is an interface with classes.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// House style: data is an enum; node built-ins keep their names.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{considerDefaultExhaustiveForUnions: true},
			],
		},
	},
	{
		// `xstate` takes the types of a machine from values that are cast.
		files: ['**/*-lifecycle.ts'],
		rules: {
			'@typescript-eslint/consistent-type-assertions': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		// Scaffolding talks to itself and to the operating system.
		files: ['{scaffold,bench,tests}/**/*.ts', '**/__tests__/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'n/prefer-global/buffer': 'off',
			'unicorn/no-process-exit': 'off',
			'no-await-in-loop': 'off',
		},
	},
	{
		// The core knows nothing of its hosts.
		files: [
			'src/{call,backend,routing,membership,declaration,evacuation,budget,quota,clock,random}/**/*.ts',
		],
		rules: {
			'no-restricted-imports': [
				'error',
				{
					patterns: [
						{
							group: [...hostFolders.map((folder) => `**/${folder}/*`), 'node:*', 'ws', 'undici'],
							message: 'Aggregates import no host, socket or system clock.',
						},
					],
				},
			],
		},
	},
];

export default config;
