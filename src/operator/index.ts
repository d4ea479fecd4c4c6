export {
	ApplyOutcome,
	ChangeApplier,
	type ApplyResult,
	type ChangeRequest,
} from './change-applier.js';
export {readDeclarationFolder} from './declaration-folder.js';
export {formatCustomers, type CustomersReply} from './customer-table.js';
export {formatExplanation, isExplanation, type ExplanationReply} from './explanation-text.js';
