import type {CustomerReport} from '../wiring/customer-report.js';

/** Answer of a node to `GET /v1/customers`. */
export interface CustomersReply {
	readonly revision: number;
	readonly customers: readonly CustomerReport[];
}

const millisPerSecond = 1000;
const header = ['CUSTOMER', 'PRIORITY', 'LIMIT/S', 'USE/S', 'SHARE', 'RUNNING', 'AGE', 'REFUSED'];

function cellsOf(report: CustomerReport): string[] {
	const {customer, priority, limit, rate, share, inFlight, age, refused = {}, keys} = report;
	const refusals = Object.entries(refused).map(([reason, count]) => `${reason}=${count}`);
	const notes = [
		...(report.isDeclared ? [] : ['not declared']),
		...(report.isDeclared && keys === 0 ? ['no keys'] : []),
		...refusals,
	];
	return [
		customer,
		priority === undefined ? '-' : String(priority),
		limit > 0 ? String(limit) : '-',
		rate === undefined ? '-' : rate.toFixed(1),
		`${Math.round(share * 100)}%`,
		inFlight === undefined ? '-' : String(inFlight),
		age === undefined ? '-' : `${(age / millisPerSecond).toFixed(1)}s`,
		notes.join(' '),
	];
}

/**
 * @param reply - answer of a node.
 * @returns the lines of a table with one customer in each.
 */
export function formatCustomers({revision, customers}: CustomersReply): string[] {
	const rows = [header, ...customers.map((report) => cellsOf(report))];
	const widths = header.map((_name, column) =>
		Math.max(...rows.map((cells) => cells[column]!.length)),
	);
	const lines = rows.map((cells) =>
		cells
			.map((cell, column) => cell.padEnd(widths[column]!))
			.join('  ')
			.trimEnd(),
	);
	return [`revision ${revision}, ${customers.length} customers`, ...lines];
}
