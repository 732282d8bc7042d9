"""Stand-in for an engine: generates made-up tokens at a steady rate and takes orders."""

from attrs import define

from standins.engine_generation import NOT_STARTED, Generator, token_text
from standins.engine_orders import OrderTaker
from standins.engine_state import EngineState, LoadReporter, parse_faults
from standins.http_server import Exchange, run_standin, standin_parser

__all__ = ["Engine", "token_text"]


@define
class Engine:
    """The engine's parts behind its paths."""

    state: EngineState
    generator: Generator
    orders: OrderTaker
    load: LoadReporter

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        place = (exchange.request.method, exchange.request.path)
        if place == ("POST", "/v1/generate"):
            await self.generator.generate(exchange)
        elif place == ("POST", "/v1/cancel"):
            await self.generator.cancel(exchange)
        elif place == ("POST", "/v1/orders"):
            await self.orders.take(exchange)
        elif place == ("GET", "/v1/state"):
            await exchange.answer(200, self.state.report())
        elif place == ("GET", "/v1/load"):
            await exchange.answer(200, self.load.report())
        else:
            await self._handle_control(exchange)

    async def _handle_control(self, exchange: Exchange) -> None:
        place = (exchange.request.method, exchange.request.path)
        if place == ("GET", "/witness"):
            entries = [[entry.kind, entry.subject, entry.detail] for entry in self.state.witness]
            await exchange.answer(200, {"entries": entries})
        elif place == ("POST", "/faults"):
            self.state.faults = parse_faults(exchange.request.value())
            await exchange.answer(200, {})
        else:
            await exchange.answer(404, {"error": "no such path"}, NOT_STARTED)


def main() -> None:
    """Runs the engine stand-in."""
    parser = standin_parser("Stand-in for an engine.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--model", required=True, help="name or name@version; version 1 if absent")
    parser.add_argument("--adapters", default="", help="adapters, separated by commas")
    parser.add_argument("--role", default="mixed")
    parser.add_argument("--checks-fencing", choices=("yes", "no"), default="yes")
    parser.add_argument("--change-ms", type=float, default=300.0, help="length of a change")
    parser.add_argument("--load-lag-ms", type=float, default=200.0)
    parser.add_argument("--token-interval-ms", type=float, default=5.0)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=20000.0)
    parser.add_argument("--max-batch", type=int, default=64)
    arguments = parser.parse_args()
    model, _, version = arguments.model.partition("@")
    state = EngineState(
        name=arguments.name,
        model=model,
        version=version or "1",
        adapters=frozenset(name for name in arguments.adapters.split(",") if name),
        role=arguments.role,
        checks_fencing=arguments.checks_fencing == "yes",
    )
    generator = Generator(
        state,
        token_interval_s=arguments.token_interval_ms / 1000.0,
        prefill_tokens_per_s=arguments.prefill_tokens_per_s,
        max_batch=arguments.max_batch,
    )
    engine = Engine(
        state,
        generator,
        OrderTaker(state, arguments.change_ms / 1000.0),
        LoadReporter(state, arguments.load_lag_ms / 1000.0),
    )
    run_standin(arguments, engine.handle)


if __name__ == "__main__":
    main()
