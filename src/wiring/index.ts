export {NodeCore, type NodeCoreHooks} from './node-core.js';
export {RoutedNode, type RoutedNodeAdapters} from './routed-node.js';
export {SystemClock} from './system-clock.js';
export {TurmericNode} from './turmeric-node.js';
