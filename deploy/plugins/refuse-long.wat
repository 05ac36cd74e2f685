;; Refuses prompts of more than 16,000 tokens for two seconds; refuse-long.wasm is this text assembled.
(module
  (func (export "on_request")
    (param $class i32) (param $prompt i32) (param $shared i32) (param $answer i32)
    (param $session i64) (param $prefix i64) (result i32)
    (if (result i32) (i32.gt_s (local.get $prompt) (i32.const 16000))
      (then (i32.const -2000))
      (else (i32.const 0)))))
