export {Admission, type AdmissionLimits, type Ticket} from './admission.js';
export {BackendEvent, backendMachine, BackendState} from './backend-lifecycle.js';
export {BackendSpeed} from './backend-speed.js';
export {Crowding} from './crowding.js';
export {isWorthHolding, type PacingParts} from './pacing.js';
export {compareUrgency, type Urgency} from './queue-order.js';
export {ServiceTime} from './service-time.js';
export {warmingSlots} from './warm-up.js';
