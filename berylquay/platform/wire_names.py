"""Names in the platform's wire protocol: headers, paths, topics and keys."""

from typing import Final

# Headers of a request that the caller sets and the backend server reads.
ATTEMPT_ID: Final = b"attempt-id"
DEADLINE_MS: Final = b"deadline-ms"
MODEL: Final = b"model"
# Prompt tokens and the maximum number of tokens to generate, not counts of tokens used.
TOKEN_COUNTS: Final = b"token-counts"
# All segments of the prompt, not only its prefix.
PROMPT_SEGMENTS: Final = b"prompt-prefix"
LAST_EVENT_ID: Final = b"last-event-id"
# With the id of the newest event: the attempt id under which the caller got the stream's first one.
RESUMES: Final = b"resumes"
# Carries the key of a tenant, which only hosts read.
AUTHORIZATION: Final = b"authorization"

# Headers of a request that only the system may set.
EXPECT_INSTANCE: Final = b"expect-instance"
EXPECT_VERSION: Final = b"expect-version"
URGENCY: Final = b"urgency-level"
# Name of the tenant whose key the caller has sent; reserved where the configuration has tenants.
TENANT: Final = b"tenant"
STAGE: Final = b"stage"
STAGE_PREFILL: Final = b"prefill"
# Address of the engine that retains the KV cache, and the handle there.
KV_SOURCE: Final = b"kv-source"
# Address of an engine from whose cache the shared segments of a prompt are copied first.
KV_FETCH: Final = b"kv-fetch"
SYSTEM_HEADERS: Final = frozenset(
    {
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        STAGE,
        KV_SOURCE,
        KV_FETCH,
        b"kv-hold",
        b"kv-backup",
        b"pin-ms",
    }
)

# Headers of a response.
# Signature of the backend server that ran the request; a success counts only with it.
SERVER_SEAL: Final = b"server-seal"
# Callers ask for bodies without any encoding; an encoded one is not the backend server's.
CONTENT_ENCODING: Final = b"content-encoding"
WWW_AUTHENTICATE: Final = b"www-authenticate"
NOT_EXECUTED: Final = b"not-executed"
# Name of the backend server that responds.
INSTANCE_ID: Final = b"instance-id"
# "1" in all responses of a backend server that is leaving.
SERVER_LEAVING: Final = b"server-leaving"
# In a backend server's 503: time for which it wants no requests from this host.
RETRY_AFTER: Final = b"retry-after"
# Requests a second that a backend server takes from all hosts together, for as long as it says so.
SERVER_LIMIT: Final = b"server-limit"
# In the store's responses: rises by one each time the store comes back from an older copy.
STORE_ERA: Final = b"store-era"

# Paths of requests to engines.
KV_HANDLE_PATH: Final = "/kv-handle/"
ORDER_PATH: Final = "/order"
REPORT_PATH: Final = "/report"

# Topics and keys of the store.
TOPIC_CONFIGURATION: Final = "keyed.op"
KEY_CONFIGURATION: Final = "config"
TOPIC_BACKENDS: Final = "keyed.servers"
# Topics that only this project uses.
TOPIC_HOSTS: Final = "keyed.hosts"
TOPIC_QUARANTINES: Final = "keyed.quarantines"
TOPIC_POOL_VERSIONS: Final = "keyed.pool-versions"
TOPIC_STREAM_VERSIONS: Final = "stream-versions"
TOPIC_AUTHORITY: Final = "authority"
TOPIC_USAGE: Final = "usage"
TOPIC_SCALING: Final = "scaling"

# Paths, headers and fields of calls to the platform's API for duties.
USAGE_PATH: Final = "/usage"
SCALE_PATH: Final = "/scale"
DUTY_HOLDER: Final = b"duty-holder"
FENCE_TOKEN: Final = b"fence-token"
USAGE_WINDOW: Final = "windowId"
USAGE_COUNTS: Final = "counts"
SCALE_SERVICE: Final = "service"
SCALE_ZONE: Final = "zone"
SCALE_DESIRED: Final = "desired"
SCALE_SPOT: Final = "spot"
# Duties as the settings name them.
DUTY_USAGE: Final = "usage_report"
DUTY_SCALING: Final = "autoscale"

# Path of the load balancer's readiness check.
READY_PATH: Final = "/ready"
