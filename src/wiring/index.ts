export {NodeCore, type CoreHooks} from './node-core.js';
export {RoutedNode, type Surroundings} from './routed-node.js';
export {SystemClock} from './system-clock.js';
export {TurmericNode} from './turmeric-node.js';
