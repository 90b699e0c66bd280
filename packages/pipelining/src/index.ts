export {createSmallServer, type SmallServerOptions} from './small-server.js';
export {
	defaultMaximumPipelinedRequests,
	RequestPipelines,
	type RequestPipelinesOptions,
} from './request-pipelines.js';
