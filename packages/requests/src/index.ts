export {createClaims, type ClaimsOptions} from './claims-plugin.js';
export {createRequests, type RequestsOptions} from './requests-plugin.js';
export {toKeyPrefix} from './key-owner.js';
