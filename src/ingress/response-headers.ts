/** Headers that the product itself sets and reads; documented in docs/CALLERS.md. */

/** Names the service that a request is for. */
export const serviceHeader = 'turmeric-service';

/** Names the customer on whose behalf a request is made. */
export const customerHeader = 'turmeric-customer';

/** How long the caller still waits, in ms. */
export const timeoutHeader = 'turmeric-timeout-ms';

/** The caller's key for a request that must not run twice. */
export const keyHeader = 'idempotency-key';

/** How the call ended: `answered`, `not-run` or `unknown`. */
export const outcomeHeader = 'turmeric-outcome';

/** Why the call was not answered. */
export const reasonHeader = 'turmeric-reason';

/** Attempts that were sent for the call. */
export const attemptsHeader = 'turmeric-attempts';

/** The configuration revision under which the call ran. */
export const revisionHeader = 'turmeric-revision';

/** Identifies the request in logs; made up here when the caller sends none. */
export const requestIdHeader = 'x-request-id';
