export type {CallPolicy, Declaration, LinkBudget, ServicePolicy} from './declaration.js';
export {DeclarationIndex, isIdempotent} from './declaration-index.js';
export {renderDeclaration, type DeclarationFiles} from './render.js';
export type {SourceFile} from './template.js';
