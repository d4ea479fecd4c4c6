export {
	Admission,
	type AdmissionLimits,
	type AdmissionRequest as AdmissionRequest,
} from './admission.js';
export {BackendEvent, backendMachine, BackendState} from './backend-lifecycle.js';
export {BackendSpeed} from './backend-speed.js';
export {Saturation as Saturation} from './crowding.js';
export {shouldDelayStart as shouldDelayStart, type PacingInput as PacingInput} from './pacing.js';
export {compareUrgency, type Urgency} from './queue-order.js';
export {ServiceTime} from './service-time.js';
export {warmingSlots} from './warm-up.js';
