/** Severity of a log event; the values are level names of winston. */
export enum LogLevel {
	Error = 'error',
	Warn = 'warn',
	Info = 'info',
	Debug = 'debug',
}

/** A numbered event of the log catalog. */
export interface LogEvent {
	readonly number: number;
	readonly name: string;
	readonly level: LogLevel;
	readonly text: string;
}

function event(number: number, name: string, level: LogLevel, text: string): LogEvent {
	return {number, name, level, text};
}

const {Error: error, Warn: warn, Info: info, Debug: debug} = LogLevel;

/** Catalog of log events. Numbers are never reused. */
export const logEvents = {
	nodeStarted: event(100, 'node-started', info, 'The node listens on its ports.'),
	nodeReady: event(101, 'node-ready', info, 'The node has a configuration and a membership.'),
	nodeDraining: event(
		102,
		'node-draining',
		info,
		'The node accepts no new calls and finishes those in flight.',
	),
	nodeStopped: event(103, 'node-stopped', info, 'The node has stopped; nothing was in flight.'),
	nodePaused: event(104, 'node-paused', warn, 'The process was not scheduled for a while.'),
	nodeStopForced: event(
		105,
		'node-stop-forced',
		error,
		'The stop timeout passed with calls in flight.',
	),
	unexpectedError: event(106, 'unexpected-error', error, 'An unexpected error was caught.'),
	backendAnnounced: event(200, 'backend-announced', info, 'A backend server announced itself.'),
	backendGone: event(201, 'backend-gone', warn, 'The backend server no longer announces itself.'),
	backendDraining: event(202, 'backend-draining', info, 'The backend server accepts no new calls.'),
	backendCrashed: event(
		203,
		'backend-crashed',
		error,
		'The backend server crashed with calls in flight.',
	),
	attemptRefused: event(
		204,
		'attempt-refused',
		info,
		'The executor refused an attempt before anything was sent.',
	),
	attemptEnded: event(205, 'attempt-ended', info, 'An attempt at the backend server has ended.'),
	announcementRejected: event(
		206,
		'announcement-rejected',
		warn,
		'An announcement was rejected; the state of the backend server is unchanged.',
	),
	announcementUnconfirmed: event(
		210,
		'announcement-unconfirmed',
		info,
		'A restarted node ignores an announcement until a later one or the health path confirms it.',
	),
	backendLimited: event(
		211,
		'backend-limited',
		info,
		'The backend server has named another rate limit.',
	),
	backendLimitLifted: event(
		212,
		'backend-limit-lifted',
		info,
		'The backend server no longer names a rate limit.',
	),
	backendLeaving: event(
		213,
		'backend-leaving',
		info,
		'The backend server says in an answer that it leaves.',
	),
	backendCold: event(
		214,
		'backend-cold',
		info,
		'The backend server is cold and gets no more requests than it tolerates.',
	),
	backendAssumedCold: event(
		215,
		'backend-assumed-cold',
		info,
		'The backend server counts as cold until a heartbeat or its health path tells otherwise.',
	),
	uploadEnded: event(
		217,
		'upload-ended',
		warn,
		'A body was not read to its end because it arrived too slowly or is too large.',
	),
	attemptOverdue: event(
		218,
		'attempt-overdue',
		warn,
		'An attempt past its deadline was canceled by its executor; a connection may have gone silent.',
	),
	answerSpoiled: event(
		219,
		'answer-spoiled',
		warn,
		'What the backend server sent as the body of an answer is not the whole body, or not only that.',
	),
	backendWarm: event(216, 'backend-warm', info, 'The backend server is no longer cold.'),
	callEnded: event(800, 'call-ended', info, 'A call has ended at its ingress.'),
	callRetried: event(801, 'call-retried', info, 'A call gets a further attempt.'),
	callHedged: event(
		802,
		'call-hedged',
		info,
		'A second attempt was sent because the first one is slow.',
	),
	requestRefused: event(
		803,
		'request-refused',
		info,
		'A request was refused before it became a call.',
	),
	requestsUnanswered: event(
		810,
		'requests-unanswered',
		info,
		'A connection closed before all its requests were answered; those behind count as not read.',
	),
	requestOutwaited: event(
		811,
		'request-outwaited',
		info,
		'The deadline of a request passed while it waited behind others on its connection; it did not run.',
	),
	answerOutwaited: event(
		812,
		'answer-outwaited',
		info,
		'An answer was held by earlier ones on its connection until its deadline had passed.',
	),
	inputRejected: event(
		813,
		'input-rejected',
		info,
		'Bytes on the connection of a caller could not be parsed, or came too late.',
	),
	answerCut: event(
		814,
		'answer-cut',
		warn,
		'An answer ended at its caller before it was complete.',
	),
	backendDeparted: event(
		207,
		'backend-departed',
		info,
		'A backend server announced its departure.',
	),
	backendFound: event(
		208,
		'backend-found',
		info,
		'A backend server was found before it announced itself.',
	),
	backendNotFound: event(
		209,
		'backend-not-found',
		debug,
		'No backend server answers at the address of the settings.',
	),
	linkOpened: event(300, 'link-opened', debug, 'A link to a peer is open.'),
	linkClosed: event(301, 'link-closed', debug, 'A link to a peer has closed.'),
	linkRejected: event(302, 'link-rejected', warn, 'A link to a peer was rejected.'),
	linkSilent: event(
		304,
		'link-silent',
		warn,
		'Nothing arrives from a peer on a link; further calls use a new one.',
	),
	frameRejected: event(
		303,
		'frame-rejected',
		warn,
		'A frame could not be decoded; the link is closed.',
	),
	memberChanged: event(400, 'member-changed', info, 'A member changed its state.'),
	datagramRejected: event(401, 'datagram-rejected', debug, 'A gossip datagram was dropped.'),
	revisionHeld: event(500, 'revision-held', info, 'The node holds a configuration revision.'),
	revisionInForce: event(
		501,
		'revision-in-force',
		info,
		'A configuration revision is in force here.',
	),
	revisionRejected: event(
		502,
		'revision-rejected',
		error,
		'A configuration revision could not be used.',
	),
	deltaRejected: event(
		510,
		'delta-rejected',
		info,
		'A delta did not make the requested content; the content is fetched in full.',
	),
	revisionRestored: event(
		503,
		'revision-restored',
		warn,
		'An accepted revision that the store had lost was written again.',
	),
	zoneEvacuated: event(
		504,
		'zone-evacuated',
		warn,
		'An availability zone is evacuated: nothing new is sent to its backend servers.',
	),
	evacuationEnded: event(
		505,
		'evacuation-ended',
		warn,
		'The evacuation of an availability zone has ended; the nodes return to it within seconds.',
	),
	evacuationUnknownZone: event(
		506,
		'evacuation-unknown-zone',
		error,
		'An evacuation names an availability zone in which no node is known; it has no effect.',
	),
	evacuationIgnored: event(
		507,
		'evacuation-ignored',
		error,
		'An evacuation row is ignored: its zone has no usable name, or there are too many rows.',
	),
	storeDown: event(600, 'store-down', warn, 'The platform store does not answer.'),
	storeUp: event(601, 'store-up', info, 'The platform store answers again.'),
	feedLost: event(602, 'feed-lost', warn, 'The configuration feed of the store was lost.'),
	feedRegained: event(
		603,
		'feed-regained',
		info,
		'The configuration feed of the store is available again.',
	),
	feedHistoryLost: event(
		604,
		'feed-history-lost',
		warn,
		'The store has no history after the position of the feed; the configuration is read again.',
	),
	rosterRead: event(605, 'roster-read', info, 'The node is registered and has read the roster.'),
	rosterUnavailable: event(
		606,
		'roster-unavailable',
		warn,
		'The roster cannot be read from the store.',
	),
	rosterDropped: event(
		607,
		'roster-dropped',
		info,
		'The roster row of a departed node was deleted.',
	),
	storeRestored: event(
		608,
		'store-restored',
		warn,
		'The store was restored from an earlier state and has lost its latest writes.',
	),
	rosterRestored: event(
		609,
		'roster-restored',
		info,
		'Roster rows that the store had lost were written again.',
	),
	feedSilent: event(
		610,
		'feed-silent',
		warn,
		'A poll of the store got no answer in time; it is repeated on a new connection.',
	),
	settingsReloaded: event(107, 'settings-reloaded', info, 'The settings file was read again.'),
	settingsRejected: event(
		108,
		'settings-rejected',
		error,
		'The settings file is invalid; the previous settings stay in force.',
	),
	logLinesDropped: event(
		109,
		'log-lines-dropped',
		warn,
		'Log lines were dropped to limit the volume.',
	),
	quotaNewsLost: event(
		900,
		'quota-news-lost',
		warn,
		'No aggregator answers; the node uses its own part of the quotas.',
	),
	quotaNewsRegained: event(901, 'quota-news-regained', info, 'An aggregator answers again.'),
	quotaCustomerLimited: event(
		902,
		'quota-customer-limited',
		info,
		'A customer is over its quota; a share of its requests is refused.',
	),
	quotaCustomerFreed: event(
		903,
		'quota-customer-freed',
		info,
		'No request of a customer is refused for its quota any more.',
	),
	quotaAggregatorChanged: event(
		904,
		'quota-aggregator-changed',
		info,
		'The node reports to another aggregator of its zone.',
	),
	quotaAggregatorStarted: event(
		905,
		'quota-aggregator-started',
		info,
		'This node takes over as an aggregator, with empty buckets.',
	),
	quotaReachChanged: event(
		906,
		'quota-reach-changed',
		info,
		'Another part of the quotas is set aside for nodes that are out of reach.',
	),
	spilloverStarted: event(
		910,
		'spillover-started',
		info,
		'Calls for a service leave the availability zone, as it has too little capacity.',
	),
	spilloverEnded: event(
		911,
		'spillover-ended',
		info,
		'No more calls for a service leave the availability zone for want of capacity.',
	),
	zoneShort: event(
		912,
		'zone-short',
		info,
		'The availability zone has too little capacity for its own callers of a service.',
	),
	zoneSufficient: event(
		913,
		'zone-sufficient',
		info,
		'The availability zone has enough capacity for its own callers of a service again.',
	),
	requestHeld: event(
		700,
		'request-held',
		error,
		'A request that crashes backend servers is held back.',
	),
	holdLifted: event(701, 'hold-lifted', info, 'A request is no longer held back.'),
} as const;
