"""Interface of the platform adapter that the gateway uses."""

from . import cloud_api
from . import engine_calls
from . import headers
from . import operator_config
from . import roll_out_rows
from . import server_entries
from . import settings
from . import store

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
ROLL_OUT_TABLE = roll_out_rows.TABLE
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
decode_roll_out = roll_out_rows.decode_state
decode_roll_out_order = roll_out_rows.decode_order
decode_server = server_entries.decode
encode_roll_out = roll_out_rows.encode_state
load_settings = settings.load
move_request = engine_calls.move_request
roll_out_key = roll_out_rows.row_key
roll_out_service = roll_out_rows.service_of

__all__ = ['headers']
