package choice

import (
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"strings"
	"testing"
)

// Guards against decisions that differ between processors: a compiler may fuse a floating-point multiplication with an
// addition, on some processors, and round once instead of twice. The language forbids that only where the product is
// converted explicitly. So each product is converted, unless it is an operand of a multiplication, a division, a
// comparison, min, max or a function of package math.
func TestProductsAreRounded(t *testing.T) {
	set := token.NewFileSet()
	packages, err := parser.ParseDir(set, ".", func(f fs.FileInfo) bool { return !strings.HasSuffix(f.Name(), "_test.go") }, 0)
	if err != nil {
		t.Fatal(err)
	}
	var files []*ast.File
	for _, f := range packages["choice"].Files {
		files = append(files, f)
	}
	info := &types.Info{Types: map[ast.Expr]types.TypeAndValue{}}
	config := types.Config{Importer: importer.ForCompiler(set, "source", nil)}
	if _, err := config.Check("harrierramp/choice", set, files, info); err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		var parents []ast.Node
		ast.Inspect(f, func(n ast.Node) bool {
			if n == nil {
				parents = parents[:len(parents)-1]
				return true
			}
			if isFloatProduct(n, info) && !isRounded(parents, info) {
				t.Errorf("%s: the product is not converted: write float64(x*y)", set.Position(n.Pos()))
			}
			parents = append(parents, n)
			return true
		})
	}
}

// isFloatProduct reports whether n is a multiplication of floating-point numbers that is not done by the compiler.
func isFloatProduct(n ast.Node, info *types.Info) bool {
	switch n := n.(type) {
	case *ast.BinaryExpr:
		return n.Op == token.MUL && isFloat(n, info)
	case *ast.AssignStmt:
		return n.Tok == token.MUL_ASSIGN && isFloat(n.Lhs[0], info)
	}
	return false
}

func isFloat(e ast.Expr, info *types.Info) bool {
	t := info.Types[e]
	basic, ok := t.Type.Underlying().(*types.Basic)
	return ok && basic.Info()&types.IsFloat != 0 && t.Value == nil
}

// isRounded reports whether a product with these parents, the innermost last, can't be fused with an addition.
func isRounded(parents []ast.Node, info *types.Info) bool {
	for i := len(parents) - 1; i >= 0; i-- {
		switch p := parents[i].(type) {
		case *ast.ParenExpr:
			continue
		case *ast.CallExpr:
			return info.Types[p.Fun].IsType() || info.Types[p.Fun].IsBuiltin() || isMathFunction(p.Fun)
		case *ast.BinaryExpr:
			switch p.Op {
			case token.MUL, token.QUO, token.LSS, token.LEQ, token.GTR, token.GEQ, token.EQL, token.NEQ:
				return true
			}
		}
		return false
	}
	return false
}

func isMathFunction(e ast.Expr) bool {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	name, ok := selector.X.(*ast.Ident)
	return ok && name.Name == "math"
}
