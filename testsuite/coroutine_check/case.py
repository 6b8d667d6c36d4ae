"""`tools/check_coroutines.py` finds the forms of `co_await` that g++ 12 translates wrongly, and no others."""
import importlib.util
import pathlib

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools" / "check_coroutines.py"

FOUND = [
    "co_return a && !co_await b();",
    "co_return !a || co_await b();",
    "co_return a ? co_await b() : c;",
    "co_return a ? c : co_await b();",
    "co_return f(a && co_await b());",
    "co_return a and co_await b();",
    "bool x = f(a && co_await b());",
    "x += a ? co_await b() : c;",
    "x = a ? C { text } : co_await b();",
    "auto x = a ? C { co_await b() } : C {};",
    "auto x = a && f([] { return 1; }, co_await b());",
    "a ? x = co_await b() : 0;",
    "co_return a\n    && !co_await b();",
    "int x = values[a && co_await b()];",
    "if (co_await b()) co_return true;",
    "if (auto x = co_await b(); x) co_return true;",
    "if (auto x = c; co_await b()) co_return true;",
    "if constexpr (true) { while (a && co_await b()) { } }",
    "do { c(); } while (co_await b());",
    "for (; co_await b();) { }",
    "for (auto x : co_await b()) { }",
    "switch (co_await b()) { }",
    "if (c) { } else if (auto x = co_await b()) { }",
]
ALLOWED = [
    "co_return co_await b();",
    "bool x = co_await b();\nco_return a && x;",
    "co_return co_await b() && a;",
    "co_return finish(co_await write([&](int& e) { return a && e > 0; }));",
    "auto&& x = co_await b();",
    "if (a && c) co_await b();",
    "if (a || c) { co_await b(); }",
    "auto f = [&]() -> awaitable<bool> { co_return co_await b(); };",
    "bool x = a && run([&]() -> awaitable<bool> { co_return co_await b(); });",
    "bool x = a && run([&] { co_await b(); });",
    "f(a && c, co_await b());",
    "for (int i = 0; i < n && a; ++i) { co_await b(); }",
    "switch (a ? 1 : 2) { case 1: co_await b(); }",
    "// a && co_await b()\nco_await b();",
    'log("a && co_await b()");',
    'auto s = R"(a ? b : co_await c)";',
    "char q = '?'; co_await b();",
]


def run(_build):
    spec = importlib.util.spec_from_file_location("check_coroutines", TOOL)
    tool = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(tool)
    function = "awaitable<bool> f(X&& x) noexcept\n{\n    %s\n}\n"
    missed = [form for form in FOUND if len(tool.findings_in(function % form)) != 1]
    wrongly_found = [form for form in ALLOWED if tool.findings_in(function % form)]
    assert not missed and not wrongly_found, (missed, wrongly_found)
