export {
	EvacuatedZones,
	isZoneOf,
	storeSource,
	type Evacuation,
	type EvacuationChange,
	type Place,
	type ZoneFilter,
} from './evacuated-zones.js';
export {comparePositions, type EvacuationState, type StorePosition} from './evacuation-state.js';
