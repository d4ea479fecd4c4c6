import {RefusalReason} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {
	isZoneOf,
	type EvacuatedZones,
	type EvacuationChange,
	type Place,
} from '../evacuation/index.js';
import type {Executor} from '../executor/index.js';
import {isPresent, type Gossip} from '../membership/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';

/** Collaborators of {@link EvacuationMonitor}. */
export interface EvacuationMonitorDependencies {
	readonly clock: Pick<Clock, 'after'>;
	readonly logger: Logger;
	readonly metrics: Pick<Metrics, 'evacuatedZones' | 'isEvacuated'>;
	readonly gossip: Pick<Gossip, 'directory' | 'localMember' | 'broadcastUpdates'>;
	readonly zones: Pick<EvacuatedZones, 'current' | 'isEvacuated' | 'registerListener'>;
	readonly executor: Pick<Executor, 'refuseQueue'>;
	/** Called when the evacuation of the local zone has ended; its backend server may be cold. */
	onOwnZoneReturned(): void;
}

const broadcastFanOut = 4;
/** A node that has just started learns of the members of all zones within this time. */
const memberDiscoveryTime: Millis = 5 * second;

/**
 * Acts on evacuations that begin and end: tells peers, refuses the queued calls of the local backend server, and
 * records the change.
 */
export class EvacuationMonitor {
	constructor(private readonly deps: EvacuationMonitorDependencies) {}

	/** Starts handling changes. */
	start(): void {
		this.deps.zones.registerListener((change) => {
			this.handleChange(change);
		});
	}

	private handleChange({zone, isEvacuated, source, position}: EvacuationChange): void {
		const {logger, metrics, gossip, zones, executor, clock} = this.deps;
		const event = isEvacuated ? logEvents.zoneEvacuated : logEvents.evacuationEnded;
		logger.log(event, {zone, source, ...position});
		metrics.evacuatedZones.set(zones.current.length);
		const isOwnEvacuated = zones.isEvacuated(gossip.localMember);
		metrics.isEvacuated.set(isOwnEvacuated ? 1 : 0);
		if (isOwnEvacuated) {
			executor.refuseQueue(RefusalReason.ZoneEvacuated);
		} else if (isZoneOf(zone, gossip.localMember)) {
			this.deps.onOwnZoneReturned();
		}

		gossip.broadcastUpdates(broadcastFanOut);
		if (isEvacuated) {
			clock.after(memberDiscoveryTime, () => {
				this.checkZone(zone);
			});
		}
	}

	private checkZone(zone: string): void {
		const {logger, gossip, zones} = this.deps;
		const isInForce = zones.current.some((evacuation) => evacuation.zone === zone);
		if (isInForce && !hasMember(gossip.directory.all(), zone)) {
			logger.log(logEvents.evacuationUnknownZone, {zone});
		}
	}
}

function hasMember(members: Iterable<Place & Parameters<typeof isPresent>[0]>, zone: string) {
	for (const member of members) {
		if (isPresent(member) && isZoneOf(zone, member)) {
			return true;
		}
	}

	return false;
}
