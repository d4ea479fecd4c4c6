export type {Clock, Undo} from './clock.js';
export {ManualClock} from './manual-clock.js';
export {minute, second, type Millis} from './millis.js';
