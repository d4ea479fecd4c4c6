export {bindPort} from './listen.js';
