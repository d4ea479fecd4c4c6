/** `npm run traces`: writes the traces of the repository, the same each time. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {formatTrace} from '../src/replay/index.js';
import {namedTraces} from './replay/named-traces.js';

mkdirSync('traces', {recursive: true});
for (const trace of namedTraces) {
	writeFileSync(`traces/${trace.name}.jsonl`, formatTrace(trace.create()));
}
