"""All decoders of the package: their input, what they return and what they raise.

A new decoder gets an entry here: `tests/test_decoder_fuzz.py` finds the functions that
decode and fails for one that no entry covers.
"""

from tests.decoders import core, drivers, instance, platform

DECODERS = (
    *platform.DECODERS,
    *instance.DECODERS,
    *core.DECODERS,
    *drivers.DECODERS,
)

# Functions that decode and have no entry, and why.
WITHOUT_ENTRY = {
    "core.object_kinds:ObjectKind.put": "converts what `Arguments` has checked",
    "core.operator_objects:Apply.run": "converts what `Arguments` has checked",
    "core.runner_role:_role_read": "a step of the reducer; decodes by `decode_json`",
    "drivers.backends:BackendDriver._get": "a call; its readers catch each error",
    "drivers.etcd_store:EtcdStore._post": "a call; decodes by `decode_json`",
    "drivers.http_exchange:HttpExchange.finish_request": "reads on in a request",
    "drivers.instances:InstancesDriver._read": "a call; decodes by `decode_json`",
    "platform.settings:load_platform_settings": "tests/test_platform_settings.py",
    "instance.owner_calls:OwnerCalls._execute": "converts one text or bytes",
    "cli.objects:_apply": "a file of the operator who runs the command",
    "decoding:convert": "what all decoders use",
    "decoding:decode_cbor": "what all decoders use",
    "decoding:decode_json": "what all decoders use",
}
