export {Admission, type AdmissionLimits, type AdmissionRequest} from './admission.js';
export {BackendEvent, backendMachine, BackendState} from './backend-lifecycle.js';
export {BackendSpeed} from './backend-speed.js';
export {RateLimit} from './rate-limit.js';
export {Saturation} from './saturation.js';
export {shouldDelayStart, type PacingInput} from './pacing.js';
export {compareUrgency, type Urgency} from './queue-order.js';
export {ServiceTime} from './service-time.js';
export {warmingSlots} from './warm-up.js';
