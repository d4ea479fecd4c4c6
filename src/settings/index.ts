export {formatEndpoint, parseEndpoint, type Endpoint} from './endpoint.js';
export {parseNodeSettings, type NodeSettings} from './node-settings.js';
