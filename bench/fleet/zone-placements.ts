import type {LoadReport, RefusalReason} from '../../src/call/index.js';
import type {Millis} from '../../src/clock/index.js';
import {Mechanism} from '../../src/experiment/index.js';
import {Directory, distanceBetween, isRoutable, type Member} from '../../src/membership/index.js';
import {
	ObjectivePlacement,
	zoneOf,
	type AttemptOutcome,
	type ObjectivePlacementDependencies,
	type PlacementQuery,
} from '../../src/routing/index.js';
import type {PlacementFactory, SimulatedPlacement} from './simulated-node.js';

/** Ways to choose the zone of a call that the comparison plays. */
export enum ZonePolicy {
	OwnZone = 'own zone only',
	NearestFirst = 'nearest first',
	EqualParts = 'equal parts',
	LeastTime = 'least expected time',
	LeastLoss = 'least expected loss',
	Spillover = 'spillover',
	Oracle = 'oracle',
}

type ZoneOrder = (zones: readonly string[], query: PlacementQuery) => readonly string[];

/** Chooses the zone by a fixed rule, and the executor in it by the expected loss. */
class ZonedPlacement implements SimulatedPlacement {
	protected readonly loads = new Map<string, LoadReport>();
	private readonly parts = new Map<string, {placement: ObjectivePlacement; directory: Directory}>();

	constructor(
		protected readonly deps: ObjectivePlacementDependencies,
		private readonly order: (self: ZonedPlacement) => ZoneOrder,
	) {
		for (const member of deps.directory.all()) {
			this.addMember(member);
		}

		deps.directory.registerListener((member) => {
			this.addMember(member);
		});
	}

	/**
	 * @param zone - a zone.
	 * @param service - name of a service.
	 * @returns whether no executor of the service there has a free slot by its last report.
	 */
	isFull(zone: string, service: string): boolean {
		const members = [...(this.parts.get(zone)?.directory.ofService(service) ?? [])];
		return members.every((member) => {
			const load = this.loads.get(member.id);
			const isBusy = load !== undefined && load.inFlight + load.queued >= load.slots;
			return !isRoutable(member) || isBusy;
		});
	}

	/** @returns the zones, the nearest first. */
	nearestZones(): readonly string[] {
		const self = this.deps.self();
		const members = [...this.deps.directory.all()];
		members.sort((a, b) => distanceBetween(self, a) - distanceBetween(self, b));
		return [...new Set(members.map((member) => zoneOf(member)))];
	}

	choose(query: PlacementQuery): Member | undefined {
		for (const zone of this.order(this)([...this.parts.keys()], query)) {
			const member = this.parts.get(zone)?.placement.choose(query);
			if (member) {
				return member;
			}
		}

		return undefined;
	}

	noExecutorReason(query: PlacementQuery): RefusalReason {
		return this.own.noExecutorReason(query);
	}

	hedgeDelay(query: PlacementQuery, executor: Member): Millis | undefined {
		return this.of(executor).hedgeDelay(query, executor);
	}

	hedgeExecutor(query: PlacementQuery, executor: Member, elapsed: Millis): Member | undefined {
		return this.of(executor).hedgeExecutor(query, executor, elapsed);
	}

	retryAfterHint(query: PlacementQuery): Millis | undefined {
		return this.own.retryAfterHint(query);
	}

	maxWaitForExecutor(query: PlacementQuery): Millis {
		return this.own.maxWaitForExecutor(query);
	}

	recordSent(query: PlacementQuery, executor: Member): void {
		this.of(executor).recordSent(query, executor);
	}

	recordEnded(query: PlacementQuery, executor: Member, outcome: AttemptOutcome): void {
		if (outcome.load) {
			this.loads.set(executor.id, outcome.load);
		}

		this.of(executor).recordEnded(query, executor, outcome);
	}

	recordLoad(id: string, load: LoadReport): void {
		this.loads.set(id, load);
		this.partOf(id)?.recordLoad(id, load);
	}

	avoid(id: string, duration: Millis): void {
		this.partOf(id)?.avoid(id, duration);
	}

	forget(id: string): void {
		this.partOf(id)?.forget(id);
	}

	isFromOtherZone(): boolean {
		return false;
	}

	roomForOtherZones(): undefined {
		return undefined;
	}

	reportZone(): undefined {
		return undefined;
	}

	private get own(): ObjectivePlacement {
		return this.of(this.deps.self());
	}

	private of(member: Member): ObjectivePlacement {
		return this.parts.get(zoneOf(member))!.placement;
	}

	private partOf(id: string): ObjectivePlacement | undefined {
		const member = this.deps.directory.get(id);
		return member && this.of(member);
	}

	private addMember(member: Member): void {
		const zone = zoneOf(member);
		let part = this.parts.get(zone);
		if (!part) {
			const directory = new Directory();
			const disabled = new Set([...(this.deps.disabled ?? []), Mechanism.ZoneSpillover]);
			part = {directory, placement: new ObjectivePlacement({...this.deps, directory, disabled})};
			this.parts.set(zone, part);
		}

		part.directory.merge(member);
	}
}

/** Knows the state of every executor at the moment of each choice. */
class OraclePlacement extends ObjectivePlacement {
	constructor(
		private readonly allDeps: ObjectivePlacementDependencies,
		private readonly trueLoad: (id: string) => LoadReport,
	) {
		super({...allDeps, disabled: new Set([...(allDeps.disabled ?? []), Mechanism.ZoneSpillover])});
	}

	override choose(query: PlacementQuery): Member | undefined {
		for (const {id} of this.allDeps.directory.ofService(query.service)) {
			this.recordLoad(id, this.trueLoad(id));
		}

		return super.choose(query);
	}
}

function without(...mechanisms: Mechanism[]): PlacementFactory {
	return (deps) =>
		new ObjectivePlacement({
			...deps,
			isSpilloverEnabled: true,
			disabled: new Set([...(deps.disabled ?? []), ...mechanisms]),
		});
}

function shuffle(zones: readonly string[], below: (bound: number) => number): string[] {
	const rest = [...zones];
	const shuffled: string[] = [];
	while (rest.length > 0) {
		shuffled.push(...rest.splice(below(rest.length), 1));
	}

	return shuffled;
}

/** Creates the placement of a node, by policy. */
export const zonePlacements: Readonly<Record<ZonePolicy, PlacementFactory>> = {
	[ZonePolicy.OwnZone]: (deps) => new ZonedPlacement(deps, () => () => [zoneOf(deps.self())]),
	[ZonePolicy.NearestFirst]: (deps) =>
		new ZonedPlacement(deps, (placement) => (_zones, {service}) => {
			const zones = placement.nearestZones();
			const free = zones.filter((zone) => !placement.isFull(zone, service));
			return [...free, ...zones];
		}),
	[ZonePolicy.EqualParts]: (deps) =>
		new ZonedPlacement(deps, () => (zones) => shuffle(zones, (bound) => deps.random.below(bound))),
	[ZonePolicy.LeastTime]: without(Mechanism.ZoneSpillover, Mechanism.TransferLoss),
	[ZonePolicy.LeastLoss]: without(Mechanism.ZoneSpillover),
	[ZonePolicy.Spillover]: without(),
	[ZonePolicy.Oracle]: (deps, trueLoad) => new OraclePlacement(deps, trueLoad),
};
