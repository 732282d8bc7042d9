"""The message bus: messages of one class never reach handlers of another class."""

import pytest
from attrs import make_class
from circuits import BaseComponent

from berylquay.net.message_bus import post


def test_two_message_classes_may_not_share_a_name() -> None:
    sender = BaseComponent()
    post(sender, make_class("SharedName", [])())
    with pytest.raises(ValueError, match="SharedName"):
        post(sender, make_class("SharedName", [])())
