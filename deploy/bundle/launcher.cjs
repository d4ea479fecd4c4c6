'use strict';
// Runs the bundle beside this file out of its code cache, as compiling takes most of a node's start.
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundleFile = path.join(__dirname, 'bundle.cjs');
const cacheFile = path.join(__dirname, 'bundle.cache');
const script = new Script(readFileSync(bundleFile, 'utf8'), {
	filename: bundleFile,
	cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});

// The cache holds what was compiled until the end, and counts only under the same options of Node.js.
if (process.argv[2] === '--write-code-cache') {
	process.argv.splice(2, 1);
	process.once('exit', () => {
		writeFileSync(cacheFile, script.createCachedData());
	});
} else if (script.cachedDataRejected) {
	process.stderr.write('the code cache was made by another Node.js or under other options\n');
}

script.runInThisContext()(require, bundleFile, __dirname);
