export {formatEndpoint, parseEndpoint, type Endpoint} from './endpoint.js';
export {
	parseNodeSettings,
	type BackendSettings,
	type BudgetSettings,
	type NodeSettings,
	type TransferCostSettings,
} from './node-settings.js';
