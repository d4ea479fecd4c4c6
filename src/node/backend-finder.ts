import {Agent} from 'undici';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import {createHealthConnector, type BackendProtocol} from '../executor/index.js';
import {formatEndpoint, type Endpoint} from '../settings/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {AnnouncedState} from './announcement.js';
import type {BackendMonitor} from './backend-monitor.js';
import type {ProbedExecutor} from './backend-probe.js';
import {toHeaderList} from './header-list.js';

/** Collaborators of {@link BackendFinder}. */
export interface BackendFinderDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly backend: BackendMonitor;
	/** Receives what the backend server says of itself. */
	readonly executor: Pick<ProbedExecutor, 'readNotice'>;
	readonly protocol: BackendProtocol;
	/** Address and port of the backend server according to the settings. */
	readonly endpoint: Endpoint;
	/** Service of the backend server according to the settings. */
	readonly service: string;
}

const queryPeriod: Millis = 60;
/** Period while only the health path can tell that a backend server takes requests again. */
const doubtPeriod: Millis = second / 2;
const queryTimeout: Millis = 300;
/** The endpoint in the settings is valid only at the start of the process. */
const searchDuration: Millis = 4 * second;
const okStatus = 200;
const unreadyStatus = 503;

/**
 * Queries the health endpoint of a backend server that kept running while its node restarted, so that
 * the node need not wait for the next announcement.
 */
export class BackendFinder {
	private readonly agent = new Agent({connections: 1, connect: createHealthConnector()});

	constructor(private readonly deps: BackendFinderDependencies) {}

	/** Queries the endpoint until the backend server is present or can be told from its announcements. */
	start(): void {
		const {clock, backend} = this.deps;
		const until = clock.now() + searchDuration;
		const search = async () => {
			await this.queryHealth();
			const isSearching = clock.now() < until;
			if (!backend.isPresent && !backend.hasAnnounced && (isSearching || backend.isInDoubt)) {
				clock.after(isSearching ? queryPeriod : doubtPeriod, () => {
					void search();
				});
			}
		};

		void search();
	}

	private async queryHealth(): Promise<void> {
		const {clock, revisions, service, endpoint, backend, executor, protocol, logger} = this.deps;
		const path = revisions.inForce?.service(service)?.healthPath;
		if (path === undefined || backend.hasAnnounced) {
			return;
		}

		const sentAt = clock.now();
		try {
			const res = await this.agent.request({
				origin: `http://${formatEndpoint(endpoint)}`,
				path,
				method: 'GET',
				signal: AbortSignal.timeout(queryTimeout),
			});
			await res.body.dump();
			const headers = toHeaderList(res.headers);
			const instance = protocol.readInstance(headers);
			const slots = protocol.readLoad(headers)?.slots;
			if (res.statusCode === unreadyStatus && instance !== undefined) {
				backend.handleUnready(instance);
			}

			if (res.statusCode !== okStatus || instance === undefined || !slots) {
				return;
			}

			if (!backend.hasAnnounced) {
				logger.log(logEvents.backendFound, {instance, service, slots});
				backend.handleAnnouncement({
					service,
					...endpoint,
					slots,
					connections: undefined,
					instance,
					state: AnnouncedState.Serving,
					healthPath: '',
					startedAt: undefined,
					sequence: undefined,
					warmUpLeft: undefined,
				});
				executor.readNotice(instance, protocol.readNotice(headers), sentAt);
			}
		} catch (err) {
			logger.log(logEvents.backendNotFound, {error: String(err)});
		}
	}
}
