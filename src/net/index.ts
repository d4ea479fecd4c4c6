export {bound} from './listen.js';
