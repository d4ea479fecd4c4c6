export {Mechanism, noneDisabled, type DisabledMechanisms} from './mechanism.js';
