from circuits.core.components import BaseComponent as BaseComponent
from circuits.core.components import Component as Component
from circuits.core.events import Event as Event
from circuits.core.handlers import handler as handler
