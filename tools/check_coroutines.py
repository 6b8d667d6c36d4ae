#!/usr/bin/env python3
"""Finds `co_await` where g++ 12 translates it wrongly: in an operand that is not always evaluated, and in the condition of
a statement.

    check_coroutines.py FILE...

docs/DESIGN.md, "Coroutines", has the forms. Exits with 1 if there is a finding.
"""
import bisect
import pathlib
import re
import sys

TOKEN = re.compile(r"""
    (?P<skipped>//[^\n]* | /\*.*?\*/ | \s+)
  | R"(?P<delimiter>[^()\\\s]{0,16})\(.*?\)(?P=delimiter)" | "(?:\\.|[^"\\\n])*" | '(?:\\.|[^'\\\n])*'
  | [A-Za-z_][A-Za-z0-9_]*
  | [0-9](?:[eEpP][+-]|'[0-9a-fA-F]|[0-9a-zA-Z_.])*
  | && | \|\| | :: | -> | [-+*/%&|^<>=!]= | .
""", re.VERBOSE | re.DOTALL)
OPENING, CLOSING = set("([{"), set(")]}")
CONDITIONAL = {"&&", "and", "||", "or", "?"}
STATEMENTS = {"if", "while", "for", "switch"}
ASSIGNMENTS = {"=", "+=", "-=", "*=", "/=", "%=", "&=", "|=", "^="}
BEFORE_BLOCK = {")", "]", "{", "}", ";", ":", "else", "do", "try", "const", "noexcept", "mutable", "override"}


def tokens_of(text):
    """Pairs of token and line, without comments."""
    starts = [match.start() for match in re.finditer(r"^", text, re.MULTILINE)]
    return [(match.group(), bisect.bisect_right(starts, match.start()))
            for match in TOKEN.finditer(text) if not match.group("skipped")]


def begins_block(tokens, brace):
    """Whether a brace begins a block of statements, and not an initializer."""
    if brace == 0 or tokens[brace - 1] in BEFORE_BLOCK:
        return True
    for token in reversed(tokens[:brace]):
        # The return type of a lambda.
        if token == "->":
            return True
        if token in ASSIGNMENTS | OPENING | CLOSING | {";", ","}:
            return False
    return True


def problem_at(tokens, at):
    """Reads backwards to the beginning of the statement, leaving out what is in brackets of its own."""
    # With `is_target`, what is read now is assigned to, such as the declaration of a reference (`auto&&`).
    depth, is_target = 0, False
    for index in range(at - 1, -1, -1):
        token = tokens[index]
        if depth or token in CLOSING:
            depth += (token in CLOSING) - (token in OPENING)
        elif token == "{" and begins_block(tokens, index):
            return None
        elif token in OPENING:
            head = next((each for each in reversed(tokens[:index]) if each != "constexpr"), "")
            if token == "(" and head in STATEMENTS:
                return f"in the condition of `{head}`"
            is_target = False
        elif token == ";":
            # Within brackets it parts the header of a statement.
            return header_problem(tokens, index)
        elif token == "," or token in ASSIGNMENTS:
            is_target = True
        elif token == "?" or token in CONDITIONAL and not is_target:
            return f"in an operand of `{token}`, which is not always evaluated"
    return None


def header_problem(tokens, semicolon):
    depth = 0
    for index in range(semicolon - 1, 0, -1):
        depth += (tokens[index] in CLOSING) - (tokens[index] in OPENING)
        if depth < 0:
            head = tokens[index - 1]
            return f"in the header of `{head}`" if tokens[index] == "(" and head in STATEMENTS else None
    return None


def findings_in(text):
    """Pairs of line and problem."""
    tokens = tokens_of(text)
    words = [token for token, _ in tokens]
    found = ((line, problem_at(words, at)) for at, (token, line) in enumerate(tokens) if token == "co_await")
    return [(line, problem) for line, problem in found if problem]


def main():
    status = 0
    for name in sys.argv[1:]:
        for line, problem in findings_in(pathlib.Path(name).read_text()):
            print(f"{name}:{line}: co_await {problem}; assign its result to a variable first")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
