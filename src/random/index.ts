export {createRandom, sample, type Random} from './random.js';
