"""The bus: messages of different kinds never reach each other's handlers."""

import pytest
from attrs import make_class
from circuits import BaseComponent

from berylquay.net.message_bus import post


def test_two_kinds_of_message_may_not_share_a_name() -> None:
    sender = BaseComponent()
    post(sender, make_class("SharedName", [])())
    with pytest.raises(ValueError, match="SharedName"):
        post(sender, make_class("SharedName", [])())
