export {
	defaultMaximumPipelinedRequests,
	RequestPipelines,
	type RequestPipelinesOptions,
} from './request-pipelines.js';
