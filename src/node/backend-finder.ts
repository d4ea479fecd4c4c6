import {Agent} from 'undici';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {BackendProtocol} from '../executor/index.js';
import {formatEndpoint, type Endpoint} from '../settings/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {AnnouncedState} from './announcement.js';
import type {BackendMonitor} from './backend-keeper.js';
import {toHeaderList} from './header-list.js';

/** What a finder is made of. */
export interface BackendFinderDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly backend: BackendMonitor;
	readonly protocol: BackendProtocol;
	/** Where the backend server listens by the settings. */
	readonly endpoint: Endpoint;
	/** Its service by the settings. */
	readonly service: string;
}

const askPeriod: Millis = 60;
const askTimeout: Millis = 300;
/** The settings tell where the backend server is at the start of the process, and no longer. */
const findTime: Millis = 4 * second;
const okStatus = 200;

/**
 * Finds the backend server that ran on while its node was started anew, without waiting for its next
 * announcement.
 */
export class BackendFinder {
	private readonly agent = new Agent({connections: 1});

	constructor(private readonly parts: BackendFinderDependencies) {}

	/** Starts looking, until the backend server is there or time is up. */
	start(): void {
		const {clock, backend} = this.parts;
		const until = clock.now() + findTime;
		const look = async () => {
			await this.ask();
			if (!backend.isPresent && !backend.hasAnnounced && clock.now() < until) {
				clock.after(askPeriod, () => {
					void look();
				});
			}
		};

		void look();
	}

	private async ask(): Promise<void> {
		const {revisions: keeper, service, endpoint, backend, protocol, logger} = this.parts;
		const path = keeper.inForce?.service(service)?.healthPath;
		if (path === undefined || backend.hasAnnounced) {
			return;
		}

		try {
			const res = await this.agent.request({
				origin: `http://${formatEndpoint(endpoint)}`,
				path,
				method: 'GET',
				signal: AbortSignal.timeout(askTimeout),
			});
			await res.body.dump();
			const headers = toHeaderList(res.headers);
			const instance = protocol.readInstance(headers);
			const slots = protocol.readLoad(headers)?.slots;
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
					warmUpLeft: 0,
				});
			}
		} catch (err) {
			logger.log(logEvents.backendNotFound, {error: String(err)});
		}
	}
}
