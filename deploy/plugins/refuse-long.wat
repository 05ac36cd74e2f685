;; Example of a request hook: refuses requests whose prompt exceeds 16,000 tokens, with a retry time of 2,000 ms.
;; refuse-long.wasm is the binary form of this file.
(module
  (func (export "on_request")
    (param $class i32) (param $prompt i32) (param $shared i32) (param $answer i32)
    (param $session i64) (param $prefix i64) (result i32)
    (if (result i32) (i32.gt_s (local.get $prompt) (i32.const 16000))
      (then (i32.const -2000))
      (else (i32.const 0)))))
