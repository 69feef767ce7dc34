.PHONY: demo packages build test format

packages:
	ci/packages

build: packages
	cmake -S . -B build -G Ninja >/dev/null
	ninja -C build

demo: build
	build/src/hickorycrank demo

test: packages
	ci/check

format:
	git ls-files '*.cpp' '*.h' | grep -v '^src/gen/' | xargs clang-format-14 -i
