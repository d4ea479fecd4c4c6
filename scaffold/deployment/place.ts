import type {ZonePlace} from '../stand-ins/network.js';

/** One service of a deployment. */
export interface ServicePlan {
	readonly name: string;
	readonly backends: number;
	readonly slots: number;
	readonly connections: number;
	/** Mean time for a call, in ms. */
	readonly serviceTime: number;
}

/** A deployment in small. */
export interface DeploymentPlan {
	readonly name: string;
	/** Folder of the declaration files. */
	readonly files: string;
	readonly zones: readonly ZonePlace[];
	/** Number of the zone in which the store stands. */
	readonly storeOctet: number;
	readonly zoneDelay: number;
	readonly regionDelay: number;
	readonly services: readonly ServicePlan[];
	readonly customers: readonly string[];
}

/** Rannakivi Grit Franchise: three services of four backend servers in two regions. */
export const rannakivi: DeploymentPlan = {
	name: 'rannakivi',
	files: 'examples/rannakivi',
	zones: [
		{octet: 1, region: 'harju', zone: 'harju-a'},
		{octet: 2, region: 'harju', zone: 'harju-b'},
		{octet: 3, region: 'parnu', zone: 'parnu-a'},
		{octet: 4, region: 'parnu', zone: 'parnu-b'},
	],
	storeOctet: 1,
	zoneDelay: 1,
	regionDelay: 8,
	services: [
		{name: 'depot-catalogue', backends: 4, slots: 10, connections: 200, serviceTime: 8},
		{name: 'yard-booking', backends: 4, slots: 10, connections: 200, serviceTime: 15},
		{name: 'farm-billing', backends: 4, slots: 10, connections: 200, serviceTime: 20},
	],
	customers: ['kuressaare', 'haapsalu'],
};

/** Kera Pakne Sahakari Trust: three services in two regions, joined by a paid link. */
export const kerakot: DeploymentPlan = {
	name: 'kerakot',
	files: 'examples/kerakot',
	zones: [
		{octet: 1, region: 'terai', zone: 'birgunj'},
		{octet: 2, region: 'terai', zone: 'janakpur'},
		{octet: 3, region: 'pahad', zone: 'pokhara'},
		{octet: 4, region: 'pahad', zone: 'gorkha'},
	],
	storeOctet: 1,
	zoneDelay: 1.5,
	regionDelay: 8,
	services: [
		{name: 'rangcheck', backends: 5, slots: 10, connections: 250, serviceTime: 8},
		{name: 'kothaghar', backends: 4, slots: 10, connections: 250, serviceTime: 15},
		{name: 'sahakhata', backends: 4, slots: 10, connections: 250, serviceTime: 20},
	],
	customers: ['chitwan', 'kaski'],
};

/** The smallest deployment that shows everything; the tests use it. */
export const small: DeploymentPlan = {
	name: 'small',
	files: 'examples/small',
	zones: [
		{octet: 1, region: 'harju', zone: 'harju-a'},
		{octet: 2, region: 'harju', zone: 'harju-b'},
		{octet: 3, region: 'parnu', zone: 'parnu-a'},
	],
	storeOctet: 1,
	zoneDelay: 1,
	regionDelay: 8,
	services: [{name: 'stock', backends: 3, slots: 4, connections: 50, serviceTime: 8}],
	customers: ['kuressaare'],
};
