"""The accepted configuration, from node to node."""

import msgspec


class ConfigurationUpdate(
    msgspec.Struct, array_like=True, tag="configuration", frozen=True
):
    """The configuration in force at the sender.

    Attributes:
        version: Counts accepted publications.
        as_of: The log offset through which the sender knows it to be newest.
        text: The operators' text.
    """

    version: int
    as_of: int
    text: str
