"""Stand-in for an engine: generates synthetic tokens at a fixed rate and executes orders."""

from attrs import define

from standins.engine_generation import NOT_STARTED_HEADERS, Generator, token_text
from standins.engine_orders import OrderHandler
from standins.engine_state import EngineState, LoadReporter, parse_faults
from standins.http_server import Exchange, create_standin_parser, run_standin

__all__ = ["Engine", "token_text"]


@define
class Engine:
    """Routes requests to the components of the engine."""

    state: EngineState
    generator: Generator
    order_handler: OrderHandler
    load_reporter: LoadReporter

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        route = (exchange.request.method, exchange.request.path)
        if route == ("POST", "/v1/generate"):
            await self.generator.generate(exchange)
        elif route == ("POST", "/v1/cancel"):
            await self.generator.cancel(exchange)
        elif route == ("POST", "/v1/orders"):
            await self.order_handler.handle(exchange)
        elif route == ("GET", "/v1/state"):
            await exchange.send_json(200, self.state.report())
        elif route == ("GET", "/v1/load"):
            await exchange.send_json(200, self.load_reporter.report())
        else:
            await self._handle_control(exchange)

    async def _handle_control(self, exchange: Exchange) -> None:
        route = (exchange.request.method, exchange.request.path)
        if route == ("GET", "/witness"):
            entries = [
                [entry.kind, entry.subject_id, entry.detail] for entry in self.state.event_log
            ]
            await exchange.send_json(200, {"entries": entries})
        elif route == ("POST", "/faults"):
            self.state.faults = parse_faults(exchange.request.json_body())
            await exchange.send_json(200, {})
        else:
            await exchange.send_json(404, {"error": "no such path"}, NOT_STARTED_HEADERS)


def main() -> None:
    """Runs the process that stands in for an engine."""
    parser = create_standin_parser("Stand-in for an engine.")
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
        OrderHandler(state, arguments.change_ms / 1000.0),
        LoadReporter(state, arguments.load_lag_ms / 1000.0),
    )
    run_standin(arguments, engine.handle)


if __name__ == "__main__":
    main()
