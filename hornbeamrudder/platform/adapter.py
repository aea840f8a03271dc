"""Interface of the platform adapter that the gateway uses."""

from . import cloud_api
from . import engine_calls
from . import headers
from . import operator_config
from . import server_entries
from . import settings
from . import store

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
SERVER_TABLE = server_entries.TABLE
USAGE_DUTY = settings.USAGE_DUTY
SCALING_DUTY = settings.SCALING_DUTY

CloudApi = cloud_api.CloudApi
Conflict = store.Conflict
Expect = store.Expect
DutyHolder = cloud_api.DutyHolder
Put = store.Put
Remove = store.Remove
Store = store.Store
decode_configuration = operator_config.decode
decode_endpoint = settings.decode_endpoint
decode_server = server_entries.decode
load_settings = settings.load
move_request = engine_calls.move_request

__all__ = ['headers']
