export {SystemClock} from './system-clock.js';
export {TurmericNode} from './turmeric-node.js';
