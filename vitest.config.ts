// One limit for all: it ends a test that hangs and decides no verdict otherwise.
const hangLimit = 120_000;

const config = {
	test: {
		include: ['{src,platform,bench}/**/__tests__/unit/*.test.ts', 'tests/**/*.test.ts'],
		testTimeout: hangLimit,
		hookTimeout: hangLimit,
		pool: 'forks',
		maxWorkers: 4,
	},
};

export default config;
