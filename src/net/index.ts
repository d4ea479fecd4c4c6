export {bindPort as bindPort} from './listen.js';
