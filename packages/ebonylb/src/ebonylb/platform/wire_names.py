"""Names of the platform's headers, paths, tables and keys."""

REQUEST_ID = "Ebonylb-Request-Id"
DEADLINE = "Ebonylb-Deadline-Ms"
EXPECT_INSTANCE = "Ebonylb-Expect-Instance"
EXPECT_VERSION = "Ebonylb-Expect-Version"
SEAL = "Ebonylb-Response-Seal"
NOT_RUN = "Ebonylb-Not-Executed"
# Sent with each response of a server that leaves; the name has no prefix.
SERVER_LEAVING = "Server-Leaving"
SERVER_LOAD = "Ebonylb-Server-Load"
# Requests a second that the server accepts from all entry VMs together.
SERVER_LIMIT = "Server-Limit"
# In spite of the plural a single integer: the version with which the response begins.
WEIGHT_VERSION = "Ebonylb-Weight-Versions"
WAIT = "Ebonylb-Wait-Ms"
LENGTH_HINT = "Ebonylb-Length-Hint"
MODEL = "Ebonylb-Model"
# Prompt tokens and maximum of output tokens: ``PROMPT,MAX_OUTPUT``.
TOKEN_USAGE = "Ebonylb-Token-Usage"
# Parts with which the prompt begins: ``ID:TOKENS,...``.
PROMPT_PREFIX = "Ebonylb-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
# Id of the caller's attempt that brought the first event of the stream it takes up.
RESUMES = "Resumes"
RETRY_AFTER = "Retry-After"
# Carries the key of a customer from callers; never sent to servers.
AUTHORIZATION = "Authorization"
# Name of the customer, for servers.
CUSTOMER = "Ebonylb-Tenant"
LEASE_HOLDER = "Ebonylb-Lease-Holder"
FENCING_TOKEN = "Ebonylb-Fencing-Token"

READY_PATH = "/api/ready"
BATCH_PATH = "/api/lots/"
ITEM_PATH = "/api/items/"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
ROWS_TRANSACT_PATH = "/api/rows-tx"
ROWS_READ_PATH = "/api/rows-get"
ROWS_FEED_PATH = "/api/rows-feed"
ROWS_PARTS_PATH = "/api/rows-parts"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
WEIGHT_VERSION_PREFIX = "version/"
SERVERS_TABLE = "servers"

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
# Headers of callers that servers never receive where customers are configured.
IDENTITY_HEADERS = frozenset(name.lower() for name in (AUTHORIZATION, CUSTOMER))
# Headers that the adapter sets itself and does not copy from the caller's request.
ADAPTER_SET_HEADERS = frozenset(
    name.lower() for name in (DEADLINE, EXPECT_INSTANCE, EXPECT_VERSION, LAST_EVENT)
)
