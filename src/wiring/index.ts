export {NodeCore, type NodeCoreHooks as NodeCoreHooks} from './node-core.js';
export {RoutedNode, type RoutedNodeAdapters as RoutedNodeAdapters} from './routed-node.js';
export {SystemClock} from './system-clock.js';
export {TurmericNode} from './turmeric-node.js';
