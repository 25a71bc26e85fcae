"""Shortens docstrings, which a running node does not use."""

import ast

# The help of the command line is made of their docstrings.
_KEPT_PREFIXES = ("cyclopts", "rhubarbpaddle/cli")


def keeps_docstrings(relative: str) -> bool:
    """Returns whether the module at this path needs its docstrings."""
    return relative.startswith(_KEPT_PREFIXES)


class DocstringShortener(ast.NodeTransformer):
    """Keeps only the first line of each docstring.

    If docstrings were removed, `dataclasses` would compute one for each class.
    Assertions are kept, unlike with the interpreter's `-OO`.
    """

    def visit_Module(self, node: ast.Module) -> ast.AST:
        """Shortens the docstring of a module."""
        return self._shorten(node)

    def visit_ClassDef(self, node: ast.ClassDef) -> ast.AST:
        """Shortens the docstring of a class."""
        return self._shorten(node)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.AST:
        """Shortens the docstring of a function."""
        return self._shorten(node)

    def visit_AsyncFunctionDef(self, node: ast.AsyncFunctionDef) -> ast.AST:
        """Shortens the docstring of an asynchronous function."""
        return self._shorten(node)

    def _shorten(
        self,
        node: ast.Module
        | ast.ClassDef
        | ast.FunctionDef
        | ast.AsyncFunctionDef,
    ) -> ast.AST:
        if docstring := ast.get_docstring(node):
            first = ast.Constant(docstring.partition("\n")[0])
            statement = node.body[0]
            assert isinstance(statement, ast.Expr)
            statement.value = ast.copy_location(first, statement.value)
        return self.generic_visit(node)
