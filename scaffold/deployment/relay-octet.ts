/** Relayed addresses have this added to the second octet of their target. */
export const relayOctetOffset = 100;
